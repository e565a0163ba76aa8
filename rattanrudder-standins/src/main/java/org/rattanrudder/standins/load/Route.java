package org.rattanrudder.standins.load;

import java.util.concurrent.CompletableFuture;

/** The way that the requests of a load take. */
@FunctionalInterface
interface Route {
    /** Sends a request; the number counts the requests of the load. */
    CompletableFuture<Answer> send(LoadRequest request, int number);
}
