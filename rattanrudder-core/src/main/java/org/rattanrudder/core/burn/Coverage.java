package org.rattanrudder.core.burn;

import java.util.List;

/**
 * How much of a window the counts of the entries cover.
 *
 * @param window the window
 * @param share the covered share of the window, averaged over the entries, from 0 to 1
 * @param gaps one for each entry that started within the window: the counts of its predecessor are lost
 */
public record Coverage(Window window, double share, List<Gap> gaps) {
    /** Copies the list. */
    public Coverage {
        gaps = List.copyOf(gaps);
    }

    /**
     * A time for which an entry has no counts.
     *
     * @param instance the entry
     * @param fromMillis when the window starts
     * @param untilMillis when the entry started to count
     */
    public record Gap(String instance, long fromMillis, long untilMillis) {}
}
