package org.rattanrudder.daemon.relay.store;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.codec.http.QueryStringEncoder;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.rattanrudder.core.rollout.LeaseTokens;
import org.rattanrudder.daemon.relay.net.CallResult;
import org.rattanrudder.daemon.relay.port.PlatformCall;
import org.rattanrudder.daemon.relay.port.StoreDialect.Topic;
import org.rattanrudder.daemon.relay.port.StoreRead;

/**
 * How a relay asks a peer for a read of the platform's store: {@code GET /newest?topic=T[&after=K]} or {@code GET
 * /records?topic=T&from=N}. The response is the store's, with the era of the store that it is of.
 */
final class PeerReadFormat {
    private static final String NEWEST = "/newest";
    private static final String RECORDS = "/records";
    private static final String TOPIC = "topic";
    private static final String AFTER = "after";
    private static final String FROM = "from";
    private static final String ERA = "Log-Era";
    private static final byte[] NO_BODY = new byte[0];

    private PeerReadFormat() {}

    /** Returns the call that asks a peer for a read. */
    static PlatformCall write(StoreRead read) {
        QueryStringEncoder uri = new QueryStringEncoder(read instanceof StoreRead.Newest ? NEWEST : RECORDS);
        uri.addParam(TOPIC, read.topic().name());
        if (read instanceof StoreRead.Newest newest) {
            newest.after().ifPresent(key -> uri.addParam(AFTER, key));
        } else if (read instanceof StoreRead.From from) {
            uri.addParam(FROM, Long.toString(from.offset()));
        }
        return new PlatformCall(HttpMethod.GET, uri.toString(), EmptyHttpHeaders.INSTANCE, NO_BODY);
    }

    /** Sets the era of the store that a response is of. */
    static void writeEra(HttpResponse response, long era) {
        response.headers().set(ERA, era);
    }

    /** Returns the era of the store that a peer's response is of; empty if it names none that can be read. */
    static OptionalLong readEra(CallResult result) {
        if (!(result instanceof CallResult.Answered answered)) {
            return OptionalLong.empty();
        }
        String era = answered.response().headers().get(ERA, "");
        try {
            return LongStream.of(Long.parseLong(era.trim()))
                    .filter(named -> named >= 0 && named <= LeaseTokens.MAX_ERA)
                    .findFirst();
        } catch (NumberFormatException unreadable) {
            return OptionalLong.empty();
        }
    }

    /** Returns the read that a peer asks for; empty if it asks for something else. */
    static Optional<StoreRead> parse(HttpMethod method, String requestUri) {
        if (!method.equals(HttpMethod.GET)) {
            return Optional.empty();
        }
        try {
            QueryStringDecoder uri = new QueryStringDecoder(requestUri);
            return switch (uri.path()) {
                case NEWEST -> topic(uri).<StoreRead>map(topic -> new StoreRead.Newest(topic, parameter(uri, AFTER)));
                case RECORDS ->
                    topic(uri).flatMap(topic -> offset(uri).<StoreRead>map(from -> new StoreRead.From(topic, from)));
                default -> Optional.empty();
            };
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    private static Optional<Topic> topic(QueryStringDecoder uri) {
        return parameter(uri, TOPIC).map(Topic::valueOf);
    }

    private static Optional<Long> offset(QueryStringDecoder uri) {
        return parameter(uri, FROM).map(Long::valueOf).filter(from -> from >= 0);
    }

    private static Optional<String> parameter(QueryStringDecoder uri, String name) {
        return uri.parameters().getOrDefault(name, List.of()).stream().findFirst();
    }
}
