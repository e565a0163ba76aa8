package org.rattanrudder.core.burn;

import java.util.Map;

/**
 * The alerts on burn rates. Each has a long window, so that a short spike doesn't raise it, and a short window, so
 * that it ends soon after the cause does.
 */
public enum BurnAlert {
    /** The error budget of three days would be used up in five hours: page an operator. */
    FAST(14.4, Window.HOUR, Window.FIVE_MINUTES),
    /** The error budget of three days would be used up in half a day: page an operator. */
    SLOW(6.0, Window.SIX_HOURS, Window.HOUR),
    /** The error budget won't last three days: investigate during working hours. */
    LASTING(1.0, Window.THREE_DAYS, Window.SIX_HOURS);

    /** Fewer bad requests than this raise no alert: one bad request out of three isn't a trend. */
    public static final int MIN_BAD_REQUESTS = 5;

    private final double threshold;
    private final Window longWindow;
    private final Window shortWindow;

    BurnAlert(double threshold, Window longWindow, Window shortWindow) {
        this.threshold = threshold;
        this.longWindow = longWindow;
        this.shortWindow = shortWindow;
    }

    /** Returns the burn rate from which the alert is raised. */
    public double threshold() {
        return threshold;
    }

    /** Returns the long window. */
    public Window longWindow() {
        return longWindow;
    }

    /** Returns the short window. */
    public Window shortWindow() {
        return shortWindow;
    }

    /** Returns whether the windows raise the alert. */
    boolean isRaised(Map<Window, WindowBurn> windows) {
        WindowBurn longBurn = windows.get(longWindow);
        return longBurn.bad() >= MIN_BAD_REQUESTS
                && longBurn.burnRate() >= threshold
                && windows.get(shortWindow).burnRate() >= threshold;
    }
}
