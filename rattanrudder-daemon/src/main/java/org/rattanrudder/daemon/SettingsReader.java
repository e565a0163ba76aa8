package org.rattanrudder.daemon;

import java.util.List;

/** Applies settings that were reloaded while the process runs. */
interface SettingsReader {
    /** Validates the settings and applies those that can change at run time; returns the problems found, if any. */
    List<String> apply(String text);
}
