package org.radishpass.records.schema;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The types of the fields of a record.
 *
 * @since 0.1.0
 */
public enum FieldType {
    /** A string that is not blank. */
    STRING("a text that is not blank") {
        @Override
        public boolean accepts(JsonNode value) {
            return value.isTextual() && !value.textValue().isBlank();
        }
    },
    /** An integer that is 0 or more. */
    COUNT("a whole number, 0 or more") {
        @Override
        public boolean accepts(JsonNode value) {
            return value.isIntegralNumber() && value.canConvertToInt() && value.intValue() >= 0;
        }
    },
    /** A factor above 1 and at most 100. */
    MULTIPLE_ABOVE_1("a number above 1 and at most 100, such as 1.25") {
        @Override
        public boolean accepts(JsonNode value) {
            return value.isNumber() && value.doubleValue() > 1 && value.doubleValue() <= MAX_MULTIPLE;
        }
    },
    /** An integer percentage above 100 and at most 10000. */
    PERCENT_ABOVE_100("a whole number above 100 and at most 10000, such as 125") {
        @Override
        public boolean accepts(JsonNode value) {
            return value.isIntegralNumber()
                    && value.intValue() > HUNDRED_PERCENT
                    && value.intValue() <= HUNDRED_PERCENT * MAX_MULTIPLE;
        }
    },
    /** A number from 0 to 1. */
    FRACTION("a number from 0 to 1, such as 0.1") {
        @Override
        public boolean accepts(JsonNode value) {
            return value.isNumber() && value.doubleValue() >= 0 && value.doubleValue() <= 1;
        }
    },
    /** A boolean. */
    BOOLEAN("true or false") {
        @Override
        public boolean accepts(JsonNode value) {
            return value.isBoolean();
        }
    },
    /** The name of a priority class of requests. */
    PRIORITY_CLASS("interactive, check or batch") {
        @Override
        public boolean accepts(JsonNode value) {
            return value.isTextual()
                    && org.radishpass.core.admission.PriorityClass.byWireName(value.textValue())
                            .isPresent();
        }
    },
    /** A list of strings that are not blank. */
    STRING_LIST("a list of texts that are not blank") {
        @Override
        public boolean accepts(JsonNode value) {
            return value.isArray() && allMatch(value, STRING);
        }
    },
    /** A list of objects; the fields of the objects are validated separately. */
    OBJECT_LIST("a list of objects") {
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

    private static final int HUNDRED_PERCENT = 100;
    private static final int MAX_MULTIPLE = 100;

    private final String expected;

    FieldType(String expected) {
        this.expected = expected;
    }

    /** Returns a description of the valid values, for messages. */
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
