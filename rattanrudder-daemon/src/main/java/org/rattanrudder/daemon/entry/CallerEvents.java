package org.rattanrudder.daemon.entry;

/** Is told what becomes of a caller's connection, on its I/O thread. */
interface CallerEvents {
    /** The connection took chunks of the answer. */
    void took(long sequence, int chunks);

    /** The connection is gone before the answer was whole. */
    void gone(long sequence);

    /** Nothing more will happen with the exchange. */
    void ended(long sequence);
}
