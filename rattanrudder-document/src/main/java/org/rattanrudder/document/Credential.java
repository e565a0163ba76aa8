package org.rattanrudder.document;

import java.nio.charset.StandardCharsets;
import org.rattanrudder.core.model.Digest;

/** Turns a credential into the form in which documents and settings keep it. */
public final class Credential {
    private Credential() {}

    /** Returns the SHA-256 digest of a credential, as compared with what documents hold. */
    public static Digest digest(String credential) {
        return Digest.of(credential.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the text to write into a document or settings file, such as {@code sha256:9f86...}. */
    public static String written(String credential) {
        return "sha256:" + digest(credential).toHex();
    }
}
