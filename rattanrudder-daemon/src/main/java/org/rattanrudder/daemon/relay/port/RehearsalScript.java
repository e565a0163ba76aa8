package org.rattanrudder.daemon.relay.port;

import java.util.List;
import java.util.Optional;
import org.rattanrudder.core.model.Address;

/** The messages of callers, targets and the platform's store in the startup rehearsal, in wire format. */
public interface RehearsalScript {
    /** Returns the requests of callers, in order. */
    List<String> requests();

    /**
     * Returns the response to a call; empty if there is none.
     *
     * @param head the head of the call, without its last line end
     * @param self where the store and all targets of the rehearsal listen
     */
    Optional<String> answer(String head, Address self);
}
