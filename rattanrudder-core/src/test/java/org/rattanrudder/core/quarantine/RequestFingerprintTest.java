package org.rattanrudder.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class RequestFingerprintTest {
    private static final ByteBuffer BODY = body("prompt");
    private static final RequestFingerprint REQUEST = RequestFingerprint.of("mine.example", "/check/1", "anna", BODY);

    private static ByteBuffer body(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, RequestFingerprint.SAMPLE_BYTES - 1, 3 * RequestFingerprint.SAMPLE_BYTES - 1})
    void changesAtBothEndsOfLongBodyChangeFingerprint(int changed) {
        byte[] body = new byte[3 * RequestFingerprint.SAMPLE_BYTES];
        RequestFingerprint before = RequestFingerprint.of("", "/", "", ByteBuffer.wrap(body));
        body[changed] = 1;

        assertThat(RequestFingerprint.of("", "/", "", ByteBuffer.wrap(body))).isNotEqualTo(before);
        assertThat(RequestFingerprint.of("", "/", "", ByteBuffer.allocate(body.length + 1)))
                .isNotEqualTo(before);
    }

    @Test
    void equalRequestsHaveEqualFingerprints() {
        assertThat(RequestFingerprint.of("mine.example", "/check/1", "anna", body("prompt")))
                .isEqualTo(REQUEST);
    }

    @ParameterizedTest
    @CsvSource({
        "other.example, /check/1, anna, prompt",
        "mine.example, /check/2, anna, prompt",
        "mine.example, /check/1, ben, prompt",
        "mine.example, /check/1, anna, prompts",
        "mine.example/, check/1, anna, prompt"
    })
    void differentRequestsHaveDifferentFingerprints(String host, String path, String customer, String body) {
        assertThat(RequestFingerprint.of(host, path, customer, body(body))).isNotEqualTo(REQUEST);
    }

    @Property
    void hexRoundTrip(@ForAll long first, @ForAll long second) {
        RequestFingerprint fingerprint = new RequestFingerprint(first, second);

        assertThat(RequestFingerprint.fromHex(fingerprint.toHex())).isEqualTo(fingerprint);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "0123", "0123456789abcdef0123456789abcdeg", "0123456789abcdef0123456789abcdef0"})
    void malformedHexIsRejected(String text) {
        assertThatThrownBy(() -> RequestFingerprint.fromHex(text)).isInstanceOf(IllegalArgumentException.class);
    }
}
