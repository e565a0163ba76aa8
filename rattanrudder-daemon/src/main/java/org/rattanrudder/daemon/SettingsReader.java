package org.rattanrudder.daemon;

import java.util.List;
import org.rattanrudder.document.Problem;

/** Takes settings that were read again while a process runs. */
interface SettingsReader {
    /**
     * Checks the text and takes over what can change while the process runs.
     *
     * @param before the text that was read before
     * @param after the text that was read now
     */
    Outcome read(String before, String after);

    /** What came of it. */
    sealed interface Outcome {}

    /**
     * The text holds.
     *
     * @param inForce the keys that changed and are in force now
     * @param needRestart the keys that changed and will be in force after a restart
     */
    record Taken(List<String> inForce, List<String> needRestart) implements Outcome {}

    /**
     * The text doesn't hold; the process goes on as before.
     *
     * @param problems what is wrong, each with its place
     */
    record Rejected(List<String> problems) implements Outcome {
        /** Returns the outcome for problems of a text. */
        static Rejected of(List<Problem> problems) {
            return new Rejected(
                    problems.stream().map(problem -> problem.in("settings")).toList());
        }
    }
}
