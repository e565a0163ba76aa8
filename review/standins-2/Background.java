package standins2;

/** Threads that end with the program. */
final class Background {
    private Background() {}

    interface Work {
        void run() throws Exception;
    }

    static Thread thread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    }

    /** Runs work that ends quietly with its channel. */
    static Thread run(Work work) {
        Thread thread = thread(() -> {
            try {
                work.run();
            } catch (Exception ended) {
                // A closed channel ends it.
            }
        });
        thread.start();
        return thread;
    }
}
