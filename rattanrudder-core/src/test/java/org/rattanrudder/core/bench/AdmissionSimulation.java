package org.rattanrudder.core.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.LongConsumer;
import org.rattanrudder.core.admission.Admission;
import org.rattanrudder.core.admission.AdmissionRequest;
import org.rattanrudder.core.model.CustomerName;

/** Simulates requests that arrive at one target's admission at random times, and records the outcome of each. */
final class AdmissionSimulation {
    static final long MICROS_PER_SECOND = 1_000_000;
    private static final long TICK_INTERVAL_MICROS = 50_000;
    private static final double FIRST_BYTE_SHARE = 0.25;

    private final Admission<Request> admission;
    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::number));
    private final List<Request> requests = new ArrayList<>();
    private long nextNumber;

    AdmissionSimulation(Admission<Request> admission, long seed) {
        this.admission = admission;
        this.random = new Random(seed);
    }

    /**
     * A stream of requests.
     *
     * @param customer the customer that sends the requests
     * @param share the customer's weight
     * @param requestClass the request class
     * @param priority the priority of the class
     * @param deadlineMicros the deadline of the first byte
     * @param meanServiceMicros the mean time for which a request runs
     * @param requestsPerSecond the mean rate
     */
    record Load(
            CustomerName customer,
            int share,
            String requestClass,
            int priority,
            long deadlineMicros,
            long meanServiceMicros,
            double requestsPerSecond) {}

    /** One request and its outcome. */
    static final class Request {
        final Load load;
        final long arrivedMicros;
        final long serviceMicros;
        long startedMicros = -1;
        long refusedMicros = -1;

        Request(Load load, long arrivedMicros, long serviceMicros) {
            this.load = load;
            this.arrivedMicros = arrivedMicros;
            this.serviceMicros = serviceMicros;
        }

        boolean started() {
            return startedMicros >= 0;
        }

        boolean inTime() {
            long firstByte = startedMicros + Math.round(serviceMicros * FIRST_BYTE_SHARE);
            return started() && firstByte <= arrivedMicros + load.deadlineMicros();
        }
    }

    /**
     * Runs the loads for the given time and then until the queue is empty; returns all requests in order of arrival.
     */
    List<Request> run(List<Load> loads, long durationMicros) {
        for (Load load : loads) {
            for (double at = drawInterval(load); at < durationMicros; at += drawInterval(load)) {
                long serviceMicros =
                        Math.round(load.meanServiceMicros() * (0.5 + 0.5 * -Math.log(1 - random.nextDouble())));
                Request request = new Request(load, Math.round(at), serviceMicros);
                schedule(request.arrivedMicros, now -> arrive(request, now));
            }
        }
        for (long tick = TICK_INTERVAL_MICROS; tick < durationMicros; tick += TICK_INTERVAL_MICROS) {
            schedule(tick, this::tick);
        }
        while (!events.isEmpty()) {
            Event event = events.remove();
            event.action().accept(event.atMicros());
        }
        requests.sort(Comparator.comparingLong(request -> request.arrivedMicros));
        return requests;
    }

    private double drawInterval(Load load) {
        return -Math.log(1 - random.nextDouble()) * MICROS_PER_SECOND / load.requestsPerSecond();
    }

    private void arrive(Request request, long now) {
        requests.add(request);
        Load load = request.load;
        AdmissionRequest<Request> applicant = new AdmissionRequest<>(
                request,
                load.customer(),
                load.share(),
                load.requestClass(),
                load.priority(),
                now + load.deadlineMicros());
        if (admission.offer(applicant, now) instanceof Admission.Queued<Request> queued) {
            queued.evicted().ifPresent(evicted -> evicted.refusedMicros = now);
        } else {
            request.refusedMicros = now;
        }
        startNext(now);
    }

    private void tick(long now) {
        admission.removeLate(now).forEach(late -> late.refusedMicros = now);
        startNext(now);
    }

    private void startNext(long now) {
        while (true) {
            Request next = admission.startNext(now).orElse(null);
            if (next == null) {
                return;
            }
            next.startedMicros = now;
            schedule(
                    now + Math.round(next.serviceMicros * FIRST_BYTE_SHARE), then -> admission.onFirstByte(next, then));
            schedule(now + next.serviceMicros, then -> {
                admission.onFinished(next, then);
                startNext(then);
            });
        }
    }

    private void schedule(long micros, LongConsumer action) {
        events.add(new Event(micros, nextNumber++, action));
    }

    private record Event(long atMicros, long number, LongConsumer action) {}
}
