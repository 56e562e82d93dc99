package org.radishpass.records.schema;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The types of a record's fields.
 *
 * @since 0.1.0
 */
public enum FieldType {
    /** A text that is not blank. */
    TEXT("a text that is not blank") {
        @Override
        public boolean accepts(JsonNode value) {
            return value.isTextual() && !value.textValue().isBlank();
        }
    },
    /** A whole number, not below 0. */
    COUNT("a whole number, 0 or more") {
        @Override
        public boolean accepts(JsonNode value) {
            return value.isIntegralNumber() && value.canConvertToInt() && value.intValue() >= 0;
        }
    },
    /** A multiple of something, above 1. */
    MULTIPLE("a number above 1 and at most 100, such as 1.25") {
        @Override
        public boolean accepts(JsonNode value) {
            return value.isNumber() && value.doubleValue() > 1 && value.doubleValue() <= MAX_MULTIPLE;
        }
    },
    /** A percentage above 100. */
    PERCENT_ABOVE_100("a whole number above 100 and at most 10000, such as 125") {
        @Override
        public boolean accepts(JsonNode value) {
            return value.isIntegralNumber()
                    && value.intValue() > WHOLE_PERCENT
                    && value.intValue() <= WHOLE_PERCENT * MAX_MULTIPLE;
        }
    },
    /** A share of a whole. */
    FRACTION("a number from 0 to 1, such as 0.1") {
        @Override
        public boolean accepts(JsonNode value) {
            return value.isNumber() && value.doubleValue() >= 0 && value.doubleValue() <= 1;
        }
    },
    /** Yes or no. */
    FLAG("true or false") {
        @Override
        public boolean accepts(JsonNode value) {
            return value.isBoolean();
        }
    },
    /** A class of requests. */
    PRIORITY_CLASS("interactive, check or batch") {
        @Override
        public boolean accepts(JsonNode value) {
            return value.isTextual()
                    && org.radishpass.core.admission.PriorityClass.byWireName(value.textValue())
                            .isPresent();
        }
    },
    /** A list of texts. */
    TEXTS("a list of texts that are not blank") {
        @Override
        public boolean accepts(JsonNode value) {
            return value.isArray() && allMatch(value, TEXT);
        }
    },
    /** A list of objects, whose fields are checked one by one. */
    OBJECTS("a list of objects") {
        @Override
        public boolean accepts(JsonNode value) {
            if (!value.isArray()) {
                return false;
            }
            for (JsonNode element : value) {
                if (!element.isObject()) {
                    return false;
                }
            }
            return true;
        }
    };

    private static final int WHOLE_PERCENT = 100;
    private static final int MAX_MULTIPLE = 100;

    private final String expected;

    FieldType(String expected) {
        this.expected = expected;
    }

    /** Returns what to write, for messages. */
    public String expected() {
        return expected;
    }

    /**
     * Tells whether a value is of this type.
     *
     * @param value the value
     */
    public abstract boolean accepts(JsonNode value);

    private static boolean allMatch(JsonNode array, FieldType type) {
        for (JsonNode element : array) {
            if (!type.accepts(element)) {
                return false;
            }
        }
        return true;
    }
}
