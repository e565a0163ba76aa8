package org.rattanrudder.document;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.gateway.ReturnAdmission.Traits;

class RelaySettingsParserTest {
    private static ParseResult<RelaySettings> parse(String more) {
        return new RelaySettingsParser()
                .parse("{\"instance\":\"relay-1\",\"failureDomain\":\"north\",\"callers\":\"127.0.0.1:1\","
                        + "\"readiness\":\"127.0.0.1:2\",\"peers\":\"127.0.0.1:3\",\"metrics\":\"127.0.0.1:4\","
                        + "\"store\":\"127.0.0.1:5\",\"bounds\":{\"retryRatio\":0.2,\"retryExtra\":1,"
                        + "\"retryWindowSeconds\":10,\"leaseMillis\":1000,\"weightsMillis\":1000,\"drainMillis\":1000,"
                        + "\"graceSeconds\":1}" + more + "}");
    }

    private static Optional<Traits> returnAdmission(String more) {
        return ((ParseResult.Accepted<RelaySettings>) parse(more)).value().returnAdmission();
    }

    /** Guards against a relay that limits connections though its deployment doesn't ask for it. */
    @Test
    void withoutTheKeyConnectionsAreNotLimited() {
        assertThat(returnAdmission("")).isEmpty();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {"{} | 1 | 10000", "{\"concurrent\":3} | 3 | 10000", "{\"holdMillis\":0} | 1 | 0"})
    void limitsAreReadWithTheirDefaults(String text, int concurrent, long holdMillis) {
        assertThat(returnAdmission(",\"returnAdmission\":" + text)).contains(new Traits(concurrent, holdMillis));
    }

    @ParameterizedTest
    @ValueSource(strings = {"{\"concurrent\":0}", "{\"holdMillis\":-1}", "{\"other\":1}", "true"})
    void wrongLimitsAreRejected(String text) {
        assertThat(parse(",\"returnAdmission\":" + text)).isInstanceOf(ParseResult.Rejected.class);
    }
}
