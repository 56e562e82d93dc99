package org.radishpass.routing.connection;

/**
 * The use of a connection for one request, as written to the log: what was exchanged on it before, and what was skipped before the
 * response to the request.
 *
 * @since 0.16.0
 */
public final class ConnectionUse {
    /** The use of a connection that has carried no request. */
    public static final ConnectionUse NONE = new ConnectionUse(0, 0);

    private final int requestNumber;
    private final long idleMillis;
    private int skippedResponses;

    /**
     * Creates a use before which nothing has been skipped.
     *
     * @param requestNumber the number of the request on its connection, from 1
     * @param idleMillis the time for which the connection carried no request before, in milliseconds
     */
    public ConnectionUse(int requestNumber, long idleMillis) {
        this.requestNumber = requestNumber;
        this.idleMillis = idleMillis;
    }

    /** Tells whether the connection carried another request before. */
    public boolean reused() {
        return requestNumber > 1;
    }

    /** Records a response to another request that was skipped. */
    public void responseSkipped() {
        skippedResponses++;
    }

    /** Returns the use as written to logs. */
    public String text() {
        String use = reused() ? "reused request " + requestNumber + " idle " + idleMillis : "new";
        return skippedResponses == 0 ? use : use + " skipped " + skippedResponses;
    }
}
