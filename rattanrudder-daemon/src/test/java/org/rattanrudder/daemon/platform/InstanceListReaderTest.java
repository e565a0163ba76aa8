package org.rattanrudder.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.rattanrudder.core.entry.EntryEvent;
import org.rattanrudder.daemon.TestServer;
import org.rattanrudder.wire.http.HttpCaller;

class InstanceListReaderTest {
    private static final int SECONDS = 10;
    private static final String LIST = "{\"instances\":[{\"address\":\"10.0.0.1:80\",\"state\":\"leaving\"}]}";

    private final HttpCaller caller = HttpCaller.create(1);

    @AfterEach
    void close() {
        caller.close();
    }

    /** Guards against a list without its content that counts as one without instances: all would be gone. */
    @ParameterizedTest
    @ValueSource(strings = {"", "{}", "{\"instances\":null}", "{\"instances\":[", "[]"})
    void aListThatLacksItsContentIsIgnored(String body) throws Exception {
        Queue<String> bodies = new ConcurrentLinkedQueue<>(List.of(body, LIST));
        BlockingQueue<List<EntryEvent.ListedInstance>> lists = new LinkedBlockingQueue<>();
        BlockingQueue<String> asked = new LinkedBlockingQueue<>();
        try (TestServer server = new TestServer(exchange -> {
            asked.add("asked");
            exchange.getResponseSender().send(bodies.poll());
        })) {
            InstanceListReader reader = new InstanceListReader(caller, server.address(), lists::add);
            reader.poll();
            assertThat(asked.poll(SECONDS, TimeUnit.SECONDS)).isNotNull();
            reader.poll();

            assertThat(lists.poll(SECONDS, TimeUnit.SECONDS)).hasSize(1);
        }
    }
}
