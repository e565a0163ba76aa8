package org.rattanrudder.command;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.List;
import java.util.Map;
import org.rattanrudder.core.burn.BurnReport;
import org.rattanrudder.core.burn.BurnSnapshot.SlotCounts;
import org.rattanrudder.core.burn.ClassBurn;
import org.rattanrudder.core.burn.LatencyHistogram;

/** Draws the plots of the burn page. */
final class BurnPlots {
    private static final int WIDTH = 560;
    private static final int HEIGHT = 150;
    private static final int LEFT = 46;
    private static final int RIGHT = 8;
    private static final int TOP = 10;
    private static final int BOTTOM = 22;
    private static final int TIME_LABELS = 4;
    private static final double HEADROOM = 1.1;
    private static final double SMALLEST_SCALE = 2.0;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final DateTimeFormatter CLOCK =
            DateTimeFormatter.ofPattern("MM-dd HH:mm").withZone(ZoneOffset.UTC);

    private final BurnReport report;

    BurnPlots(BurnReport report) {
        this.report = report;
    }

    /** Draws the share of bad requests in each slot; slots that not all entries cover are hatched. */
    String badShare(ClassBurn burn, List<SlotCounts> slots, long fromMillis, long slotMillis) {
        Svg svg = new Svg(WIDTH, HEIGHT);
        long untilMillis = report.nowMillis();
        double allowed = 1 - burn.objectiveShare();
        double highest = slots.stream().mapToDouble(BurnPlots::share).max().orElse(0);
        double scale = Math.min(1, Math.max(allowed * SMALLEST_SCALE, highest * HEADROOM));
        double slotWidth = (double) slotMillis / (untilMillis - fromMillis + slotMillis) * plotWidth();
        svg.box(LEFT, TOP, plotWidth(), plotHeight(), "seen", "no request");
        gaps(svg, fromMillis, untilMillis, slotMillis, slotWidth);
        for (SlotCounts slot : slots) {
            double left = LEFT + (double) (slot.startMillis() - fromMillis) / slotMillis * slotWidth;
            double height = share(slot) / scale * plotHeight();
            String tip = CLOCK.format(Instant.ofEpochMilli(slot.startMillis())) + " UTC: " + slot.bad() + " bad of "
                    + (slot.good() + slot.bad());
            svg.box(left, TOP + plotHeight() - height, Math.max(1, slotWidth - 1), height, "bad", tip);
            svg.box(left, TOP, slotWidth, plotHeight(), "touch", tip);
        }
        double allowedY = TOP + plotHeight() * (1 - allowed / scale);
        svg.line(LEFT, allowedY, WIDTH - RIGHT, allowedY, "objective");
        svg.label(LEFT - 4, TOP + 8, "end", BurnTable.percent(scale));
        svg.label(LEFT - 4, TOP + plotHeight(), "end", "0");
        timeAxis(svg, fromMillis, untilMillis);
        return svg.element("share of bad requests over time");
    }

    /** Draws how many answers had which time to the first byte, on a logarithmic axis. */
    String firstByte(ClassBurn burn) {
        Svg svg = new Svg(WIDTH, HEIGHT);
        Map<Integer, Long> counts = burn.firstByte().counts();
        svg.line(LEFT, TOP + plotHeight(), WIDTH - RIGHT, TOP + plotHeight(), "axis");
        if (counts.isEmpty()) {
            return svg.label(WIDTH / 2.0, HEIGHT / 2.0, "middle", "no answer yet")
                    .element("no answers");
        }
        int objective = bucketOf(burn.objectiveMillis() * MICROS_PER_MILLI);
        int first = Math.min(objective, burn.firstByte().counts().firstKey()) - 2;
        int last = Math.max(objective, burn.firstByte().counts().lastKey()) + 2;
        double bucketWidth = plotWidth() / (double) (last - first + 1);
        long highest = counts.values().stream().mapToLong(Long::longValue).max().orElse(1);
        counts.forEach((bucket, count) -> {
            double height = (double) count / highest * plotHeight();
            double left = LEFT + (bucket - first) * bucketWidth;
            String tip = count + " answers up to " + BurnTable.millis(LatencyHistogram.upperBoundMicros(bucket));
            svg.box(
                    left,
                    TOP + plotHeight() - height,
                    Math.max(1, bucketWidth - 1),
                    height,
                    bucket > objective ? "bad" : "good",
                    tip);
        });
        double objectiveX = LEFT + (objective - first + 1) * bucketWidth;
        svg.line(objectiveX, TOP, objectiveX, TOP + plotHeight(), "objective");
        svg.label(objectiveX, TOP + 8, "end", burn.objectiveMillis() + " ms ");
        svg.label(LEFT - 4, TOP + 8, "end", Long.toString(highest));
        svg.label(LEFT - 4, TOP + plotHeight(), "end", "0");
        for (int label = 0; label < TIME_LABELS; label++) {
            int bucket = first + (last - first) * label / (TIME_LABELS - 1);
            String anchor = label == 0 ? "start" : label == TIME_LABELS - 1 ? "end" : "middle";
            double x = LEFT + (bucket - first) * bucketWidth;
            svg.label(x, HEIGHT - 6, anchor, BurnTable.millis(LatencyHistogram.upperBoundMicros(Math.max(0, bucket))));
        }
        return svg.element("answers by time to the first byte");
    }

    private void gaps(Svg svg, long fromMillis, long untilMillis, long slotMillis, double slotWidth) {
        int entries = report.snapshots().size();
        int slot = 0;
        for (long start = fromMillis; start <= untilMillis; start += slotMillis) {
            long covering = report.entriesCovering(start + slotMillis - 1);
            if (covering < entries) {
                String tip = covering == 0
                        ? "not known: no entry's memory reaches back to here"
                        : "known from " + covering + " of " + entries + " entries only";
                String style = covering == 0 ? "unknown" : "partial";
                svg.box(LEFT + slot * slotWidth, TOP, slotWidth + 0.5, plotHeight(), style, tip);
            }
            slot++;
        }
    }

    private static void timeAxis(Svg svg, long fromMillis, long untilMillis) {
        svg.line(LEFT, TOP + plotHeight(), WIDTH - RIGHT, TOP + plotHeight(), "axis");
        for (int label = 0; label < TIME_LABELS; label++) {
            long at = fromMillis + (untilMillis - fromMillis) * label / (TIME_LABELS - 1);
            double x = LEFT + plotWidth() * (double) label / (TIME_LABELS - 1);
            String anchor = label == 0 ? "start" : label == TIME_LABELS - 1 ? "end" : "middle";
            svg.label(x, HEIGHT - 6, anchor, CLOCK.format(Instant.ofEpochMilli(at)));
        }
    }

    private static int bucketOf(long micros) {
        return LatencyHistogram.bucketOf(micros);
    }

    private static double share(SlotCounts slot) {
        long total = slot.good() + slot.bad();
        return total == 0 ? 0 : (double) slot.bad() / total;
    }

    private static int plotWidth() {
        return WIDTH - LEFT - RIGHT;
    }

    private static int plotHeight() {
        return HEIGHT - TOP - BOTTOM;
    }
}
