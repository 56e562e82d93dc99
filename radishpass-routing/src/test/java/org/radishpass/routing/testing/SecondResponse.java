package org.radishpass.routing.testing;

import java.util.Random;

/** What an endpoint that sends responses twice sends after a response. */
public enum SecondResponse {
    /** Nothing. */
    NONE(true) {
        @Override
        public String text(GeneratedResponse response, String nextId, Random random) {
            return "";
        }
    },
    /** The same response. */
    WHOLE(true) {
        @Override
        public String text(GeneratedResponse response, String nextId, Random random) {
            return response.text();
        }
    },
    /** The same response two or three times. */
    REPEATED(true) {
        @Override
        public String text(GeneratedResponse response, String nextId, Random random) {
            return response.text().repeat(2 + random.nextInt(2));
        }
    },
    /** The same response with its headers in another order. */
    REORDERED(true) {
        @Override
        public String text(GeneratedResponse response, String nextId, Random random) {
            return response.reordered(random);
        }
    },
    /** An empty line. */
    LINE_END(true) {
        @Override
        public String text(GeneratedResponse response, String nextId, Random random) {
            return "\r\n";
        }
    },
    /** The beginning of the same response. */
    CUT(false) {
        @Override
        public String text(GeneratedResponse response, String nextId, Random random) {
            String text = random.nextBoolean() ? response.text() : response.reordered(random);
            return text.substring(0, 1 + random.nextInt(text.length() - 1));
        }
    },
    /** The first bytes of the same response, which end inside the status line. */
    CUT_EARLY(false) {
        @Override
        public String text(GeneratedResponse response, String nextId, Random random) {
            return response.text().substring(0, 1 + random.nextInt("HTTP/1.1 200 OK".length()));
        }
    },
    /** The beginning of the same response, and then the whole of it. */
    CUT_AND_WHOLE(false) {
        @Override
        public String text(GeneratedResponse response, String nextId, Random random) {
            return CUT.text(response, nextId, random) + response.text();
        }
    },
    /** The same response without the id of its request. */
    WITHOUT_ID(false) {
        @Override
        public String text(GeneratedResponse response, String nextId, Random random) {
            return response.withoutId();
        }
    },
    /** The same response with the id of the next request. */
    OTHER_ID(false) {
        @Override
        public String text(GeneratedResponse response, String nextId, Random random) {
            return response.withId(nextId);
        }
    },
    /** The announcement of another protocol. */
    UPGRADE(false) {
        @Override
        public String text(GeneratedResponse response, String nextId, Random random) {
            return "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n";
        }
    };

    private final boolean skippable;

    SecondResponse(boolean skippable) {
        this.skippable = skippable;
    }

    /** Tells whether a receiver can tell these bytes from the response to the request that is in flight. */
    public boolean skippable() {
        return skippable;
    }

    /**
     * Returns the bytes.
     *
     * @param response the response before
     * @param nextId the id of the request that follows
     * @param random the source of all choices
     */
    public abstract String text(GeneratedResponse response, String nextId, Random random);
}
