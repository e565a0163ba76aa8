/** The event loop that runs a state machine on one handler thread, its clock, its timer and its shutdown. */
package org.rattanrudder.daemon.loop;
