/**
 * The relay: receives requests from callers and forwards each to a target, byte for byte.
 *
 * <p>This package assembles the packages below it, which import each other in one direction only: {@code serving}, then
 * {@code rollout}, {@code peers}, {@code quarantine}, {@code streams}, {@code store}, {@code targets}, {@code process},
 * {@code net} and {@code port}. It decides nothing about a request and may use all of them.
 *
 * <p>{@link org.rattanrudder.daemon.relay.RelayProcess} is the entry point. Everything runs on one event loop, which
 * owns all state; decisions are made in core, and the platform's names, formats and calls are behind {@link
 * org.rattanrudder.daemon.relay.port}.
 */
package org.rattanrudder.daemon.relay;
