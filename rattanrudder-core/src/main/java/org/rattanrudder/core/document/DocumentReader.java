package org.rattanrudder.core.document;

/** Parses a document's text. The daemon supplies the parser, so that the core doesn't depend on one. */
@FunctionalInterface
public interface DocumentReader {
    /** Parses and checks the text. */
    Reading read(String text);

    /** The result of reading a document. */
    sealed interface Reading {}

    /**
     * The text is a valid document.
     *
     * @param document its content
     */
    record Valid(ServiceDocument document) implements Reading {}

    /**
     * The text is not a valid document for this release.
     *
     * @param reason line, column and what was expected, on one line
     */
    record Invalid(String reason) implements Reading {}
}
