package org.rattanrudder.daemon.relay.targets;

/** Dispatches queued requests when something has changed that may let them run. */
public interface QueueDispatcher {
    /** Sends queued requests to targets that have become usable, and rejects those that no target may run any more. */
    void onUsableTargetsChanged();

    /** Dispatches a service's queued requests, as far as engines have capacity. */
    void dispatchQueued(String service);
}
