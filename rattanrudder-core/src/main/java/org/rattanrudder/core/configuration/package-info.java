/**
 * Determines which document of each service is in force, solely by the order of the platform's log.
 *
 * <p>Main class: {@link org.rattanrudder.core.configuration.ServiceDocuments}.
 */
package org.rattanrudder.core.configuration;
