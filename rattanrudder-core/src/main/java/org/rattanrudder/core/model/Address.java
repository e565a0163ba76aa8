package org.rattanrudder.core.model;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Arrays;

/**
 * The network address of a process: an IP address and a port.
 *
 * @param host the IP address as text
 * @param port the TCP port, 1 to 65535
 */
public record Address(String host, int port) {
    private static final int MAX_PORT = 65_535;
    private static final int IPV4_PARTS = 4;
    private static final int MAX_BYTE = 255;
    private static final int MAX_BYTE_DIGITS = 3;

    /** The first byte of the IPv4 addresses that nobody has, the one for broadcasts among them. */
    private static final int FIRST_RESERVED = 240;

    /** Throws an {@link IllegalArgumentException} if the host is empty or the port out of range. */
    public Address {
        if (host.isEmpty() || port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("\"" + host + ":" + port + "\" is not an address");
        }
    }

    /**
     * Parses an address of the form {@code host:port}. A name in place of the IP address is refused, since the thread
     * that uses it would wait for it to be looked up.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !isNumeric(text.substring(0, colon))) {
            throw new IllegalArgumentException("\"" + text + "\" is not an address: expected IP:port");
        }
        try {
            return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException malformedPort) {
            throw new IllegalArgumentException("\"" + text + "\" is not an address: expected IP:port", malformedPort);
        }
    }

    /**
     * Parses an address that another process has told, to which connections are opened.
     *
     * @throws IllegalArgumentException if the text has another form, or if no single process can have the address
     */
    public static Address parseDialable(String text) {
        Address address = parse(text);
        InetAddress ip = address.ip();
        if (ip.isMulticastAddress() || ip.isAnyLocalAddress() || isReserved(ip.getAddress())) {
            throw new IllegalArgumentException("\"" + text + "\" is the address of no process");
        }
        return address;
    }

    /** Returns whether it is of this network itself, or for broadcasts. */
    private static boolean isReserved(byte[] ip) {
        int first = Byte.toUnsignedInt(ip[0]);
        return ip.length == IPV4_PARTS && (first == 0 || first >= FIRST_RESERVED);
    }

    private InetAddress ip() {
        try {
            return InetAddress.getByName(host);
        } catch (UnknownHostException notNumeric) {
            throw new IllegalArgumentException("\"" + this + "\" is not an address: expected IP:port", notNumeric);
        }
    }

    private static boolean isNumeric(String host) {
        return host.indexOf(':') < 0 ? isIpv4(host) : isIpv6(host);
    }

    private static boolean isIpv4(String host) {
        String[] parts = host.split("\\.", -1);
        return parts.length == IPV4_PARTS && Arrays.stream(parts).allMatch(Address::isByte);
    }

    private static boolean isByte(String part) {
        return !part.isEmpty()
                && part.length() <= MAX_BYTE_DIGITS
                && part.chars().allMatch(digit -> digit >= '0' && digit <= '9')
                && Integer.parseInt(part) <= MAX_BYTE;
    }

    /** What has a colon is never looked up as a name. */
    private static boolean isIpv6(String host) {
        try {
            return host.indexOf('%') < 0 && InetAddress.getByName(host) != null;
        } catch (UnknownHostException malformed) {
            return false;
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }

    // Explicit: those that records generate are linked at run time, which slows the start of a relay.
    @Override
    public boolean equals(Object other) {
        return other instanceof Address address && port == address.port && host.equals(address.host);
    }

    @Override
    public int hashCode() {
        return 31 * host.hashCode() + port;
    }
}
