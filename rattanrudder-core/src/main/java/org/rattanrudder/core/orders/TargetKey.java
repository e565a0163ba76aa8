package org.rattanrudder.core.orders;

import org.rattanrudder.core.model.ServiceName;
import org.rattanrudder.core.model.TargetName;

/**
 * Identifies a target of a service.
 *
 * @param service the service
 * @param target the target
 */
public record TargetKey(ServiceName service, TargetName target) {}
