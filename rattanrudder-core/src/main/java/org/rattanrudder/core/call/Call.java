package org.rattanrudder.core.call;

import java.util.List;

/**
 * An HTTP call to a service, as it is sent to a target.
 *
 * @param method the HTTP method
 * @param path path and query within the service, starting with a slash
 * @param headers the headers to forward
 * @param body the body; shared, must not be modified
 */
public record Call(String method, String path, List<Header> headers, byte[] body) {
    /** Copies the headers. The body is shared, since copying long prompts would double their memory use. */
    public Call {
        headers = List.copyOf(headers);
    }
}
