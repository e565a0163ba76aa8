package org.rattanrudder.daemon;

import java.util.List;

/** Takes settings that were read again while a process runs. */
interface SettingsReader {
    /** Checks a text and takes over what can change while the process runs; returns its problems, none if it holds. */
    List<String> take(String text);
}
