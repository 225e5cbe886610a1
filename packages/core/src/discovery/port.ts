/** TCP and UDP ports. */
import * as z from 'zod'

/** A port to which connections can be made. Node throws on any other number. */
export const portSchema = z.int().min(1).max(65_535)

/** Whether a value is a port to which connections can be made. */
export function isPort (value: unknown): value is number {
  return portSchema.safeParse(value).success
}
