package org.rattanrudder.command;

/** How the command ended, as scripts see it. */
public enum ExitCode {
    /** Done. */
    DONE(0, "done"),
    /** The documents that were compared differ, or no line is about the request. */
    DIFFERENT(1, "the documents that were compared differ, or no line is about the request"),
    /** The command line can't be understood, or a file can't be read. */
    USAGE(2, "the command line can't be understood, or a file can't be read or written"),
    /** The document doesn't hold; nothing was changed. */
    INVALID_DOCUMENT(3, "the document doesn't hold; nothing was changed"),
    /** Another edit came first; nothing was changed. */
    CONFLICT(4, "another edit came first; nothing was changed"),
    /** No entry answered; nothing was changed. */
    UNREACHABLE(5, "no entry answered; nothing was changed"),
    /** It isn't known whether the edit was accepted. */
    UNKNOWN(6, "it isn't known whether the edit was accepted: look with show before trying again"),
    /** The edit was accepted but isn't in force everywhere yet. */
    LAGGING(7, "the edit was accepted but wasn't in force everywhere in the time allowed"),
    /** The entry refused for another reason; nothing was changed. */
    REFUSED(8, "the entry refused for another reason; nothing was changed"),
    /** A fault of the command itself. */
    INTERNAL(9, "a fault of the command itself");

    private final int number;
    private final String meaning;

    ExitCode(int number, String meaning) {
        this.number = number;
        this.meaning = meaning;
    }

    /** Returns the number that the process exits with. */
    public int number() {
        return number;
    }

    /** Returns what it means, in one line. */
    public String meaning() {
        return meaning;
    }
}
