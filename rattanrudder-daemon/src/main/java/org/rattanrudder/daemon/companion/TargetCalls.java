package org.rattanrudder.daemon.companion;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.rattanrudder.core.call.Call;
import org.rattanrudder.core.call.Header;
import org.rattanrudder.core.companion.CompanionEffect;
import org.rattanrudder.core.companion.CompanionEvent;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.core.model.AttemptId;
import org.rattanrudder.daemon.loop.StateMachineLoop;
import org.rattanrudder.wire.http.HttpCaller;
import org.rattanrudder.wire.http.HttpRequest;
import org.rattanrudder.wire.http.HttpTimeouts;

/** The calls to targets that are under way, each made once. */
final class TargetCalls {
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String REQUESTS_PATH = "/v1/requests/";
    /** How long an answer may take is for the machine to say: it knows the class and whether the target shows life. */
    private static final HttpTimeouts TIMEOUTS = new HttpTimeouts(1_000, 0, 0);

    private final Map<AttemptId, Running> running = new ConcurrentHashMap<>();
    private final HttpCaller caller;
    private final StateMachineLoop<CompanionEvent, CompanionEffect> loop;

    TargetCalls(HttpCaller caller, StateMachineLoop<CompanionEvent, CompanionEffect> loop) {
        this.caller = caller;
        this.loop = loop;
    }

    void start(CompanionEffect.StartCall start) {
        Call call = start.call();
        HttpRequest request = new HttpRequest(call.method(), call.path(), call.headers(), call.body(), false, TIMEOUTS);
        Started started = new Started(start.attempt());
        started.begin(start.target(), request, new PlainCall(start.attempt(), started, started::ended), false);
    }

    void start(CompanionEffect.StartPrompt start) {
        byte[] body;
        try {
            body = EngineBody.of(start);
        } catch (IOException malformed) {
            loop.publish(new CompanionEvent.TargetFailed(start.attempt(), true, "the body is no JSON object"));
            return;
        }
        List<Header> headers = List.of(new Header("Content-Type", "application/json"));
        HttpRequest request = new HttpRequest("POST", CHAT_PATH, headers, body, false, TIMEOUTS);
        Started started = new Started(start.attempt());
        EngineCall call = new EngineCall(start.attempt(), 0, false, started, started::ended);
        started.begin(start.target(), request, call, true);
    }

    void resume(CompanionEffect.ResumePrompt resume) {
        Running before = running.remove(resume.attempt());
        if (before != null) {
            before.call().cancel();
        }
        String path = REQUESTS_PATH + resume.attempt() + "/events?from=" + resume.fromChunk();
        HttpRequest request = HttpRequest.of("GET", path).within(TIMEOUTS);
        Started started = new Started(resume.attempt());
        EngineCall call = new EngineCall(resume.attempt(), resume.fromChunk(), true, started, started::ended);
        started.begin(resume.target(), request, call, true);
    }

    void cancel(AttemptId attempt) {
        Running call = running.remove(attempt);
        if (call == null) {
            return;
        }
        call.call().cancel();
        if (call.engine()) {
            caller.fetch(call.target(), HttpRequest.of("DELETE", REQUESTS_PATH + attempt));
        }
    }

    void readMore(AttemptId attempt, int chunks) {
        Running call = running.get(attempt);
        if (call != null) {
            call.call().readMore(chunks);
        }
    }

    int count() {
        return running.size();
    }

    private record Running(TargetCall call, Address target, boolean engine) {}

    /** Publishes the events of one call for as long as it isn't cancelled, and takes it off the list at its end. */
    private final class Started implements Consumer<CompanionEvent> {
        private final AttemptId attempt;
        private Running entry;

        Started(AttemptId attempt) {
            this.attempt = attempt;
        }

        void begin(Address target, HttpRequest request, TargetCall call, boolean engine) {
            entry = new Running(call, target, engine);
            running.put(attempt, entry);
            caller.call(target, request, call);
        }

        @Override
        public void accept(CompanionEvent event) {
            TargetCall call = entry.call();
            loop.publish(event, () -> !call.isCancelled());
        }

        void ended() {
            running.remove(attempt, entry);
        }
    }
}
