package org.rattanrudder.core.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AddressTest {
    @ParameterizedTest
    @ValueSource(strings = {"10.0.0.1:80", "127.0.0.1:65535", "0.0.0.0:1", "[::1]:80", "fe80::1:80"})
    void numbersAreParsed(String text) {
        assertThat(Address.parse(text)).hasToString(text);
    }

    /** Guards against an event loop that stands still while a name is looked up. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "odd.example:80",
                "localhost:80",
                "10.0.0.1.example:80",
                "10.0.0.256:80",
                "10.0.0:80",
                "10.0.0.1.2:80",
                "10.0.0.+1:80",
                "10.0.0.01x:80",
                "1e9:80",
                " 10.0.0.1:80",
                "10.0.0.1%lo:80",
                "[odd.example]:80",
                "cafe:80",
                "10.0.0.1\u0000:80",
                "١٠.0.0.1:80"
            })
    void whatWouldHaveToBeLookedUpIsRefused(String text) {
        assertThatThrownBy(() -> Address.parse(text)).isInstanceOf(IllegalArgumentException.class);
    }

    @ParameterizedTest
    @ValueSource(strings = {"10.0.0.1", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:65536", "10.0.0.1:99999999999", ":80"})
    void whatHasNoPortIsRefused(String text) {
        assertThatThrownBy(() -> Address.parse(text)).isInstanceOf(IllegalArgumentException.class);
    }

    /** Guards against connections to this machine itself, or to many, because another process named no address. */
    @ParameterizedTest
    @ValueSource(
            strings = {"0.0.0.0:80", "0.1.2.3:80", "224.0.0.1:80", "255.255.255.255:80", "[::]:80", "[ff02::1]:80"})
    void whereNobodyCanListenIsNotDialed(String text) {
        assertThatThrownBy(() -> Address.parseDialable(text)).isInstanceOf(IllegalArgumentException.class);
    }
}
