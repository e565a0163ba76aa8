package org.rattanrudder.standins.load;

/**
 * One request of a load.
 *
 * @param atMicros when it is due, from the start of the load
 * @param customer the customer's place among those that may use every class
 * @param requestClass its class; empty for the service's default
 * @param context the name of the context that the prompt starts with; empty for a log entry
 * @param contextTokens the context's length
 * @param question the text after the context, or the log entry
 * @param answerTokens how many tokens the answer has
 */
record LoadRequest(
        long atMicros,
        int customer,
        String requestClass,
        String context,
        int contextTokens,
        String question,
        int answerTokens) {

    boolean isPrompt() {
        return !context.isEmpty();
    }

    /** Returns the whole text of the prompt. */
    String text() {
        return PromptText.of(context, contextTokens) + question;
    }
}
