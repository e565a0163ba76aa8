package org.rattanrudder.daemon.relay.port;

import java.util.List;
import java.util.Optional;
import org.rattanrudder.core.model.Address;

/** What callers, targets and the platform's store say in the rehearsal of a start, as it stands on the wire. */
public interface RehearsalScript {
    /** Returns the requests that callers send, one after the other. */
    List<String> requests();

    /**
     * Returns the answer to a call; empty if it gets none.
     *
     * @param head the call's head, without its last line end
     * @param self where the store and all targets of the rehearsal listen
     */
    Optional<String> answer(String head, Address self);
}
