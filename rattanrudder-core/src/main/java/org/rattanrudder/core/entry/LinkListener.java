package org.rattanrudder.core.entry;

import org.rattanrudder.core.model.Address;

/** Is notified of changes of companion links, to decide on the attempts sent over them. */
interface LinkListener {
    /** Returns whether attempts in flight need the link to this companion. */
    boolean needsLink(Address companion);

    /** A link was lost or unresponsive, and a new one is opened. The state of the attempts on it is unknown. */
    void onLinkLost(Address companion, long nowMicros);

    /** A link couldn't be opened; further attempts to open one follow. */
    void onLinkFailed(Address companion, long nowMicros);

    /** A link is open. Attempts sent to another incarnation than the link's are lost. */
    void onLinkOpened(CompanionLink link, long nowMicros);
}
