package org.rattanrudder.core.document;

/**
 * Limits on requests and queues.
 *
 * @param bodyBytes the size of the largest request body that is accepted
 * @param queueLength the maximum number of requests queued at one target
 * @param progressMillis the progress timeout of a running request
 * @param keyRetentionSeconds how long an idempotency key is retained
 * @param retryShare the maximum ratio of retries to first attempts, such as 0.1
 */
public record LimitSettings(
        int bodyBytes, int queueLength, long progressMillis, long keyRetentionSeconds, double retryShare) {}
