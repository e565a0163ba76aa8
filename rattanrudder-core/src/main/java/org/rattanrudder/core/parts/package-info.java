/**
 * Tracks which stores hold which parts of prompts, and plans where an engine fetches and saves them.
 *
 * <p>{@link org.rattanrudder.core.parts.PartDirectory} is the entry point.
 */
package org.rattanrudder.core.parts;
