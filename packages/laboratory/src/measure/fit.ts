/** Straight lines through measured points. */

/** A fitted line with what it leaves unexplained. */
export interface Line {
  slope: number
  intercept: number
  /** Largest distance of a point from the line, in the figure's own unit. */
  residual: number
}

/** One measured point. */
export interface Point {
  x: number
  y: number
}

/** The least-squares line. */
export function fit (points: readonly Point[]): Line {
  const meanX = mean(points.map((point) => point.x))
  const meanY = mean(points.map((point) => point.y))
  let upper = 0
  let lower = 0
  for (const { x, y } of points) {
    upper += (x - meanX) * (y - meanY)
    lower += (x - meanX) ** 2
  }
  const slope = lower === 0 ? 0 : upper / lower
  const intercept = meanY - slope * meanX
  const residual = Math.max(...points.map(({ x, y }) => Math.abs(y - intercept - slope * x)))
  return { slope, intercept, residual }
}

function mean (values: number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}
