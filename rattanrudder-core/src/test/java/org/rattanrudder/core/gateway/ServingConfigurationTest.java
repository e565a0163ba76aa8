package org.rattanrudder.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.rattanrudder.core.gateway.ServingConfiguration.AccessDecision;

class ServingConfigurationTest {
    private static final CustomerIdentity DEPOT = new CustomerIdentity("depot", OptionalInt.empty(), false);
    private static final ServingConfiguration CONFIGURATION = new ServingConfiguration(
            7,
            new RouteTable(List.of(route("closed", "/closed/", false), route("open", "/open/", true))),
            Map.of(),
            List.of(),
            CallerLimits.BEFORE_CONFIGURATION,
            Optional.of(Map.of("secret", DEPOT)));

    @ParameterizedTest
    @CsvSource({
        "/closed/1, secret, granted depot",
        "/closed/1, wrong, UNAUTHENTICATED",
        "/closed/1, , UNAUTHENTICATED",
        "/open/1, , granted",
        "/open/1, wrong, granted",
        "/elsewhere, secret, UNKNOWN_PATH",
    })
    void requestIsAuthorizedByRouteAndCredential(String path, String credential, String expected) {
        AccessDecision decision = CONFIGURATION.authorize("h", path, Optional.ofNullable(credential));

        String found = decision instanceof AccessDecision.Granted granted
                ? ("granted " + granted.customer().map(CustomerIdentity::name).orElse("")).trim()
                : ((AccessDecision.Denied) decision).error().name();
        assertThat(found).isEqualTo(expected);
    }

    private static ServiceRoute route(String name, String prefix, boolean open) {
        return new ServiceRoute(
                name,
                "h",
                prefix,
                RepeatRule.IDEMPOTENT,
                1_000,
                100,
                0,
                0,
                List.of(new WeightedService("s", 1)),
                2,
                open);
    }
}
