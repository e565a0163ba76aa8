package org.rattanrudder.core.orders;

import java.util.List;
import org.rattanrudder.core.document.ModelSettings;

/**
 * The weights and adapters that a target should have loaded. Each order carries the complete state, so that applying it
 * twice has no further effect.
 *
 * @param model the model's name in the weight store
 * @param version the weight version to serve
 * @param adapters names of the adapters to load beside it
 */
public record DesiredState(String model, String version, List<String> adapters) {
    /** Makes a defensive copy of the adapters. */
    public DesiredState {
        adapters = List.copyOf(adapters);
    }

    /** Returns the state that a document specifies. */
    public static DesiredState of(ModelSettings model) {
        return new DesiredState(model.name(), model.version(), model.adapters());
    }
}
