/** Decides which targets may continue a stream that another one has begun. */
package org.rattanrudder.core.continuation;
