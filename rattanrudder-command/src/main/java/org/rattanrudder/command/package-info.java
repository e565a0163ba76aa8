/** The operators' command: reads and edits documents, and asks any entry what the system does. */
package org.rattanrudder.command;
