/** Measurements and replay. */
export {}
