/** Bodies of requests: receiving them within limits, and refusing requests whose bodies are still being sent. */
package org.wagtaillug.daemon.body;
