package org.rattanrudder.core.entry;

import java.util.List;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.InstanceName;

/**
 * The settings of an entry process.
 *
 * @param instance the entry's instance name
 * @param incarnation a random number, different for each start of the process; never 0
 * @param failureDomain the entry's failure domain
 * @param release the entry's release
 * @param bootstrapCompanions companions from which to request the documents if the log can't be read at start
 */
public record EntrySettings(
        InstanceName instance,
        long incarnation,
        String failureDomain,
        String release,
        List<Address> bootstrapCompanions) {
    /** Creates settings with a copy of the list. */
    public EntrySettings {
        bootstrapCompanions = List.copyOf(bootstrapCompanions);
    }

    /** Creates settings without bootstrap companions. */
    public EntrySettings(InstanceName instance, long incarnation, String failureDomain, String release) {
        this(instance, incarnation, failureDomain, release, List.of());
    }
}
