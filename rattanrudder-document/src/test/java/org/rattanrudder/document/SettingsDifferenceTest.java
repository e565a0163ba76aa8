package org.rattanrudder.document;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SettingsDifferenceTest {
    private static final String RELAY = """
            {"instance": "a", "failureDomain": "b", "callers": "10.0.0.1:1", "readiness": "10.0.0.1:2",
             "peers": "10.0.0.1:3", "metrics": "10.0.0.1:4", "store": "10.0.0.1:5",
             "bounds": {"retryRatio": 0.25, "retryExtra": 10, "retryWindowSeconds": 20, "leaseMillis": 30,
               "weightsMillis": 40, "drainMillis": 50, "configurationMillis": 70, "graceSeconds": 60,
               "warmUpOverage": 1.5, "warmUpSlack": 4},
             "regions": [{"failureDomain": "c", "region": "d"}],
             "earlyRejection": true, "features": ["e"]}
            """;

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"a\":1} | { \"a\" : 1 } // same | ",
                "{\"a\":1} | {\"a\":2} | a",
                "{\"a\":1} | {\"a\":\"1\"} | a",
                "{\"a\":{\"b\":1,\"c\":2}} | {\"a\":{\"b\":1,\"c\":3}} | a.c",
                "{\"a\":1} | {\"b\":1} | a b",
                "{\"a\":[1,{\"x\":2}]} | {\"a\":[1,{\"x\":3}]} | a",
                "{\"a\":[1,2]} | {\"a\":[1,2]} | ",
                "no json | {\"a\":true} | a",
            })
    void keysWhoseValuesDifferAreNamed(String before, String after, String keys) {
        List<String> expected = keys == null ? List.of() : List.of(keys.split(" "));

        assertThat(SettingsDifference.keys(before, after)).isEqualTo(expected);
    }

    /** Each key of a relay's settings either changes what runs, and is named so, or needs a restart. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "\"a\"",
                "\"b\"",
                "10.0.0.1:1",
                "10.0.0.1:2",
                "10.0.0.1:3",
                "10.0.0.1:4",
                "10.0.0.1:5",
                "0.25",
                "10,",
                "20,",
                "30,",
                "40,",
                "50,",
                "60,",
                "70,",
                "1.5",
                "4}",
                "\"d\"",
                "true",
                "\"e\""
            })
    void aRelayTakesOverJustTheKeysThatAreNamedChangeable(String value) {
        String other = value.equals("true") ? "false" : value.replaceFirst("[abde]|[0-9](?=[^0-9]*$)", "7");
        String changed = RELAY.replace(value, other);
        RelaySettings running = settings(RELAY);

        List<String> keys = SettingsDifference.keys(RELAY, changed);

        assertThat(keys).hasSize(1);
        assertThat(!running.takeOver(settings(changed)).equals(running))
                .isEqualTo(RelaySettings.CHANGEABLE.contains(keys.get(0)));
    }

    /** Guards against a typing error that moves a failure domain to another region unnoticed. */
    @Test
    void aFailureDomainWithTwoRegionsIsRefused() {
        String twice = RELAY.replace(
                "\"region\": \"d\"}", "\"region\": \"d\"}, {\"failureDomain\": \"c\", \"region\": \"e\"}");

        assertThat(new RelaySettingsParser().parse(twice)).isInstanceOf(ParseResult.Rejected.class);
    }

    @Test
    void namedKeysAreKeysOfTheFile() {
        assertThat(SettingsDifference.keys("{}", RELAY)).containsAll(RelaySettings.CHANGEABLE);
    }

    private static RelaySettings settings(String text) {
        ParseResult<RelaySettings> result = new RelaySettingsParser().parse(text);
        assertThat(result).isInstanceOf(ParseResult.Accepted.class);
        return ((ParseResult.Accepted<RelaySettings>) result).value();
    }
}
