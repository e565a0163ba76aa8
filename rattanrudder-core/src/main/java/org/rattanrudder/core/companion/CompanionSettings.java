package org.rattanrudder.core.companion;

import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.InstanceName;

/**
 * The identity of a companion, from its process settings.
 *
 * @param instance its name
 * @param incarnation drawn at random at each start of the process; never 0
 * @param advertised the address at which entries reach it, and by which documents refer to it
 * @param failureDomain its failure domain
 * @param release its software release
 */
public record CompanionSettings(
        InstanceName instance, long incarnation, Address advertised, String failureDomain, String release) {}
