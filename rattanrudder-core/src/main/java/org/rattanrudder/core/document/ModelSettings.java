package org.rattanrudder.core.document;

import java.util.List;

/**
 * The model that a service's engines should serve.
 *
 * @param name the model's name in the weight store
 * @param version the weight version to serve
 * @param adapters names of the adapters to load with it
 */
public record ModelSettings(String name, String version, List<String> adapters) {
    /** Copies the list. */
    public ModelSettings {
        adapters = List.copyOf(adapters);
    }
}
