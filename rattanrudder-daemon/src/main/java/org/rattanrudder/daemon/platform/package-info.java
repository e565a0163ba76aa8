/** Clients of the platform's services: the log and the list of instances. */
package org.rattanrudder.daemon.platform;
