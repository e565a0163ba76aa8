package org.rattanrudder.core.admission;

/**
 * The rate at which a target serves requests of one priority, in slots.
 *
 * @param available slots that more urgent requests leave to this priority on average; may be 0 or less
 * @param guaranteed slots that this priority gets at least while it has queued requests
 */
record ServiceRate(double available, double guaranteed) {
    /**
     * Returns the expected wait in microseconds: until all that goes before is served at the available rate, or
     * until what goes before at the same priority is served at the guaranteed rate, whichever is sooner.
     *
     * @param moreUrgentMicros expected cost of the queued requests that are more urgent
     * @param sameMicros expected cost of the requests of the same priority that go before
     */
    long waitMicros(long moreUrgentMicros, long sameMicros) {
        double waitAtGuaranteed = sameMicros / guaranteed;
        double waitAtAvailable = available <= 0 ? waitAtGuaranteed : (moreUrgentMicros + sameMicros) / available;
        return Math.round(Math.min(waitAtAvailable, waitAtGuaranteed));
    }
}
