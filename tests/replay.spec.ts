/** Recorded traces come to their stated outcomes. */
import { expect } from 'chai'
import { readdirSync, readFileSync } from 'node:fs'
import { findDifferences, replayTrace, type TraceExpectation } from '@gooseberryspan/laboratory'

const FOLDER = new URL('../traces/', import.meta.url)
const names = readdirSync(FOLDER).filter((name) => name.endsWith('.jsonl'))

describe('replay', () => {
  it('should have a trace for each of five faults and more', () => {
    expect(names.length).to.be.at.least(5)
  })

  for (const name of names) {
    const statement = JSON.parse(readFileSync(new URL(name.replace('.jsonl', '.expected.json'), FOLDER), 'utf8')) as TraceExpectation
    it(`should come to what was stated for ${statement.fault}`, () => {
      const replay = replayTrace(readFileSync(new URL(name, FOLDER), 'utf8'))
      expect(replay.requests.length).to.be.above(0)
      expect(findDifferences(replay, statement)).to.deep.equal([])
    })
  }
})
