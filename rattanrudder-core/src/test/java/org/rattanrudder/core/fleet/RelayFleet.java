package org.rattanrudder.core.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What tests of limits over all relays share: the relays, and a count of what they sent. */
final class RelayFleet {
    /** The failure domains of relays, in turn. */
    static final List<String> DOMAINS = List.of("north", "south", "coast");

    private RelayFleet() {}

    /** Returns the failure domain of each of some relays by name. */
    static Map<String, String> relays(int count) {
        Map<String, String> relays = new HashMap<>();
        for (int number = 0; number < count; number++) {
            relays.put("relay-" + number, DOMAINS.get(number % DOMAINS.size()));
        }
        return relays;
    }

    /** Returns the most sends within any time of a length, of times in order. */
    static int mostWithin(long millis, List<Long> sends) {
        int most = 0;
        int first = 0;
        for (int last = 0; last < sends.size(); last++) {
            while (sends.get(last) - sends.get(first) >= millis) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }
}
