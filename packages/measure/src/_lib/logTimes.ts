/** Times of events from the daemons' logs: exact to the millisecond, without asking the daemons. */
import * as fs from 'node:fs'

const EVENT_LINE = /^time=(\S+) .*\bevent=(\S+)/

/** Times in milliseconds since the epoch at which a log says that an event happened. */
export function readEventTimes (logFile: string, event: string, mustContain = ''): number[] {
  return fs.readFileSync(logFile, 'utf8').split('\n').flatMap((line) => {
    const match = EVENT_LINE.exec(line)
    return match?.[2] === event && line.includes(mustContain) ? [Date.parse(match[1] ?? '')] : []
  })
}
