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

/** Offers requests to one target's admission at random times, and measures what became of them. */
final class AdmissionSimulation {
    static final long SECOND = 1_000_000;
    private static final long TICK = 50_000;
    private static final double FIRST_BYTE_PART = 0.25;

    private final Admission<Request> admission;
    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::number));
    private final List<Request> requests = new ArrayList<>();
    private long numbers;

    AdmissionSimulation(Admission<Request> admission, long seed) {
        this.admission = admission;
        this.random = new Random(seed);
    }

    /**
     * A stream of requests.
     *
     * @param customer whose
     * @param share its weight
     * @param requestClass the class
     * @param priority its priority
     * @param deadlineMicros until the first byte
     * @param heldMicros mean time for which a request holds its place
     * @param perSecond mean rate
     */
    record Load(
            CustomerName customer,
            int share,
            String requestClass,
            int priority,
            long deadlineMicros,
            long heldMicros,
            double perSecond) {}

    /** One request and what became of it. */
    static final class Request {
        final Load load;
        final long arrivedMicros;
        final long heldMicros;
        long startedMicros = -1;
        long refusedMicros = -1;

        Request(Load load, long arrivedMicros, long heldMicros) {
            this.load = load;
            this.arrivedMicros = arrivedMicros;
            this.heldMicros = heldMicros;
        }

        boolean started() {
            return startedMicros >= 0;
        }

        boolean inTime() {
            long firstByte = startedMicros + Math.round(heldMicros * FIRST_BYTE_PART);
            return started() && firstByte <= arrivedMicros + load.deadlineMicros();
        }
    }

    /** Runs the loads for this long, lets the queue empty, and returns all requests in the order of their arrival. */
    List<Request> run(List<Load> loads, long durationMicros) {
        for (Load load : loads) {
            for (double at = gap(load); at < durationMicros; at += gap(load)) {
                long held = Math.round(load.heldMicros() * (0.5 + 0.5 * -Math.log(1 - random.nextDouble())));
                Request request = new Request(load, Math.round(at), held);
                at(request.arrivedMicros, now -> arrive(request, now));
            }
        }
        for (long tick = TICK; tick < durationMicros; tick += TICK) {
            at(tick, this::tick);
        }
        while (!events.isEmpty()) {
            Event event = events.remove();
            event.action().accept(event.atMicros());
        }
        requests.sort(Comparator.comparingLong(request -> request.arrivedMicros));
        return requests;
    }

    private double gap(Load load) {
        return -Math.log(1 - random.nextDouble()) * SECOND / load.perSecond();
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
        fill(now);
    }

    private void tick(long now) {
        admission.removeLate(now).forEach(late -> late.refusedMicros = now);
        fill(now);
    }

    private void fill(long now) {
        while (true) {
            Request next = admission.startNext(now).orElse(null);
            if (next == null) {
                return;
            }
            next.startedMicros = now;
            at(now + Math.round(next.heldMicros * FIRST_BYTE_PART), then -> admission.onFirstByte(next, then));
            at(now + next.heldMicros, then -> {
                admission.onFinished(next, then);
                fill(then);
            });
        }
    }

    private void at(long micros, LongConsumer action) {
        events.add(new Event(micros, numbers++, action));
    }

    private record Event(long atMicros, long number, LongConsumer action) {}
}
