package org.rattanrudder.core.continuation;

/**
 * The software that began a stream.
 *
 * @param service the service of the target that sent the first event
 * @param softwareVersion the version of that target's software, not of its weights
 */
public record StreamOrigin(String service, String softwareVersion) {}
