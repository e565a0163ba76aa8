package org.rattanrudder.core.configuration;

import java.util.Optional;
import org.rattanrudder.core.model.ServiceName;

/**
 * The accepted revision of a service's document.
 *
 * @param service the service
 * @param revision the log offset of the edit that was accepted
 * @param text the document as written; empty while only the revision is known, until the text is read from a refresh
 * @param textIndexCount the number of valid indexes when the text was last read from the log, which gives its age
 *     without a clock
 */
public record DocumentRevision(ServiceName service, long revision, Optional<String> text, long textIndexCount) {}
