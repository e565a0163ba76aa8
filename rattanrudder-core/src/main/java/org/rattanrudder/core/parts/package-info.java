/**
 * Knows which stores hold which parts of prompts, and plans where an engine reads and saves them.
 *
 * <p>{@link org.rattanrudder.core.parts.PartDirectory} is the front class.
 */
package org.rattanrudder.core.parts;
