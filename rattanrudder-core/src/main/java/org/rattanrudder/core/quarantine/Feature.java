package org.rattanrudder.core.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.rattanrudder.core.gateway.PromptPart;
import org.rattanrudder.core.model.Digest;

/**
 * A property of a request that other requests may have too.
 *
 * <p>What crashes a target is one of the features of a request that it ran, or several of them together.
 *
 * @param kind what it is a property of
 * @param value identifies it among those of its kind
 */
public record Feature(Kind kind, String value) implements Comparable<Feature> {
    /** Longer values are replaced by a digest: callers choose them. */
    static final int MAX_VALUE_LENGTH = 64;

    private static final char SEPARATOR = '/';

    /** The kinds of features. */
    public enum Kind {
        /** The whole request, see {@link RequestFingerprint}. */
        REQUEST("request", true),
        /** A part of its prompt that other prompts may share. */
        PART("part", true),
        /** The last part of its prompt, which belongs to the request or its session. */
        LAST_PART("last", true),
        /** Its customer. */
        CUSTOMER("customer", false),
        /** The model that it asks for. */
        MODEL("model", false);

        private final String wireName;
        private final boolean specific;

        Kind(String wireName, boolean specific) {
            this.wireName = wireName;
            this.specific = specific;
        }

        private static Kind ofWireName(String name) {
            for (Kind kind : values()) {
                if (kind.wireName.equals(name)) {
                    return kind;
                }
            }
            throw new IllegalArgumentException("no feature is called \"" + name + "\"");
        }
    }

    /**
     * Creates a feature.
     *
     * @throws IllegalArgumentException if the value is empty
     */
    public Feature {
        if (value.isEmpty()) {
            throw new IllegalArgumentException("a feature without a value");
        }
        if (value.length() > MAX_VALUE_LENGTH) {
            value = Digest.of(value).toHex();
        }
    }

    /**
     * Returns the features of a request.
     *
     * @param fingerprint its fingerprint
     * @param customer the name of its customer; empty if unknown
     * @param model the model that it asks for; empty if none
     * @param parts the parts of its prompt; the last one isn't shared
     */
    public static List<Feature> of(
            RequestFingerprint fingerprint, String customer, String model, List<PromptPart> parts) {
        List<Feature> features = new ArrayList<>();
        features.add(request(fingerprint));
        for (int index = 0; index < parts.size(); index++) {
            Kind kind = index < parts.size() - 1 ? Kind.PART : Kind.LAST_PART;
            features.add(part(kind, parts.get(index).id()));
        }
        addIfKnown(features, Kind.CUSTOMER, customer);
        addIfKnown(features, Kind.MODEL, model);
        return features;
    }

    /**
     * Returns the features of a prompt whose parts are identified by their content.
     *
     * @param fingerprint its fingerprint
     * @param customer the name of its customer
     * @param pieces the digests of its pieces of text
     */
    public static List<Feature> ofPrompt(RequestFingerprint fingerprint, String customer, List<Digest> pieces) {
        List<Feature> features = new ArrayList<>();
        features.add(request(fingerprint));
        pieces.forEach(piece -> features.add(new Feature(Kind.PART, piece.toHex())));
        addIfKnown(features, Kind.CUSTOMER, customer);
        return features;
    }

    private static void addIfKnown(List<Feature> features, Kind kind, String value) {
        if (!value.isEmpty()) {
            features.add(new Feature(kind, value));
        }
    }

    /** Returns the feature of a whole request. */
    public static Feature request(RequestFingerprint fingerprint) {
        return new Feature(Kind.REQUEST, fingerprint.toHex());
    }

    /** Returns the feature of a part of a prompt; its hexadecimal ID may be written in several ways. */
    static Feature part(String id) {
        return part(Kind.PART, id);
    }

    private static Feature part(Kind kind, String id) {
        String digits = id.toLowerCase(Locale.ROOT).replaceFirst("^0+(?=.)", "");
        return new Feature(kind, digits.isEmpty() ? "0" : digits);
    }

    /** Returns whether it is a whole request. */
    public boolean isRequest() {
        return kind == Kind.REQUEST;
    }

    /** Returns whether it may be the cause of a crash by itself; others only narrow down which requests are. */
    public boolean isSpecific() {
        return kind.specific;
    }

    /** Returns whether requests that have nothing else in common may have it and be crashed by it. */
    boolean isShared() {
        return kind == Kind.PART;
    }

    /**
     * Parses the text of a feature.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static Feature parse(String text) {
        int end = text.indexOf(SEPARATOR);
        if (end < 0) {
            throw new IllegalArgumentException("a feature without a kind");
        }
        return new Feature(Kind.ofWireName(text.substring(0, end)), text.substring(end + 1));
    }

    /** Returns its kind and value as text. */
    @Override
    public String toString() {
        return kind.wireName + SEPARATOR + value;
    }

    @Override
    public int compareTo(Feature other) {
        int order = kind.compareTo(other.kind);
        return order == 0 ? value.compareTo(other.value) : order;
    }

    // Explicit: those that records generate are linked at run time, which slows the start of a relay.
    @Override
    public boolean equals(Object other) {
        return other instanceof Feature feature && kind == feature.kind && value.equals(feature.value);
    }

    @Override
    public int hashCode() {
        return 31 * kind.ordinal() + value.hashCode();
    }
}
