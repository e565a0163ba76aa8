package org.rattanrudder.operator;

/**
 * The body of {@code POST /operator/explain}.
 *
 * @param service the service
 * @param customer the customer
 * @param requestClass the request class; the service's first if empty
 * @param prompt the prompt's text, as the engine would see it; empty for a plain call
 */
public record ExplainRequest(String service, String customer, String requestClass, String prompt) {}
