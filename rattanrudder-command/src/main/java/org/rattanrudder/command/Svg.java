package org.rattanrudder.command;

import java.util.Locale;

/** Builds one inline SVG picture. */
final class Svg {
    private final StringBuilder text = new StringBuilder();
    private final int width;
    private final int height;

    Svg(int width, int height) {
        this.width = width;
        this.height = height;
    }

    int width() {
        return width;
    }

    int height() {
        return height;
    }

    /** Draws a filled box with a tip that shows when pointed at. */
    Svg box(double left, double top, double boxWidth, double boxHeight, String style, String tip) {
        text.append(String.format(
                Locale.ROOT,
                "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" class=\"%s\"><title>%s</title></rect>",
                left,
                top,
                boxWidth,
                Math.max(0, boxHeight),
                style,
                escape(tip)));
        return this;
    }

    Svg line(double fromX, double fromY, double toX, double toY, String style) {
        text.append(String.format(
                Locale.ROOT,
                "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" class=\"%s\"/>",
                fromX,
                fromY,
                toX,
                toY,
                style));
        return this;
    }

    Svg label(double left, double baseline, String anchor, String words) {
        text.append(String.format(
                Locale.ROOT,
                "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>",
                left,
                baseline,
                anchor,
                escape(words)));
        return this;
    }

    /** Returns the picture as an element of a page. */
    String element(String description) {
        return "<svg viewBox=\"0 0 " + width + " " + height + "\" role=\"img\" aria-label=\"" + escape(description)
                + "\">" + text + "</svg>";
    }

    /** Returns the text with what HTML reserves replaced. */
    static String escape(String words) {
        return words.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
