/** Service documents and process settings: JSON with comments, read with positions and checked. */
package org.rattanrudder.document;
