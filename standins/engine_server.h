// A stand-in model engine behind HTTP: chat completions and load reports.
//
//   engine_server Server(Costs);
//   Server.listen("127.0.0.1", 8001, 9001);

#ifndef STANDINS_ENGINE_SERVER_H
#define STANDINS_ENGINE_SERVER_H

#include <map>
#include <memory>
#include <string>

#include <QTimer>

#include "standins/answer_text.h"
#include "standins/engine_model.h"
#include "standins/http_standin.h"

namespace monsoonreel::standin {

class engine_server {
public:
  explicit engine_server(engine_costs Costs);
  bool listen(const std::string &Ip, quint16 Port, quint16 ControlPort);

private:
  struct answer {
    std::shared_ptr<http_reply> Reply;
    answer_text Text;
    std::string Model;
    bool Stream = false;
    int FirstToken = 0;
    int PromptTokens = 0;
  };

  void handle(const http_request &Request, std::shared_ptr<http_reply> Reply);
  void handleChat(const http_request &Request,
                  std::shared_ptr<http_reply> Reply);
  void handleLoad(http_reply &Reply);
  void handleFault(const fault &Fault);
  void step();
  void wakeForStep();
  void sendToken(const made_token &Token);
  QJsonObject records() const;

  engine_model Model;
  std::map<int64_t, answer> Answers;
  int64_t LastId = 0;
  int64_t KeysSeen = 0; // requests that came with an Authorization header
  QTimer StepTimer;
  http_standin Http;
};

} // namespace monsoonreel::standin

#endif // STANDINS_ENGINE_SERVER_H
